package publish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

const (
	// averageChunkObjects is the average number of objects in a chunk. A change of one object rewrites one chunk, about
	// 90 KB, and the target configuration has about 60 chunks.
	averageChunkObjects = 256
	// maxChunkBytes bounds the total size of the objects in a chunk. An object has less than 400 KB, so a chunk stays
	// below the store's value limit of 1 MB.
	maxChunkBytes = 512 << 10
)

// chunk is a part of an encoded configuration, stored under the hash of its data.
type chunk struct {
	hash string
	data []byte
}

// contentHash returns the SHA-256 hash in hexadecimal.
func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// splitChunks divides a set in canonical order into chunks. Where a chunk ends depends on the names of its objects, so
// that a new or removed object changes one or two chunks and not all that follow.
func splitChunks(set *object.Set) ([]chunk, error) {
	var (
		chunks []chunk
		list   []json.RawMessage
		size   int
	)
	flush := func() {
		if len(list) == 0 {
			return
		}
		data := object.EncodeFile(list)
		chunks = append(chunks, chunk{hash: contentHash(data), data: data})
		list = nil
		size = 0
	}
	for _, id := range set.IDs() {
		data, err := object.EncodeObject(set, id)
		if err != nil {
			return nil, err
		}
		if size+len(data) > maxChunkBytes {
			flush()
		}
		list = append(list, data)
		size += len(data)
		if xxhash.Sum64String(id.String())%averageChunkObjects == 0 {
			flush()
		}
	}
	flush()
	return chunks, nil
}

// chunkHashes returns the hashes of the chunks in the same order.
func chunkHashes(chunks []chunk) []string {
	list := make([]string, len(chunks))
	for i, c := range chunks {
		list[i] = c.hash
	}
	return list
}
