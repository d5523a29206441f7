package publish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

const (
	// chunkObjects is the average number of objects in a chunk. A change of one object rewrites one chunk, about
	// 90 KB, and the target configuration has about 60 chunks.
	chunkObjects = 256
	// maxChunkBytes closes a chunk early. An object has less than 400 KB, so a chunk stays below the store's 1 MB.
	maxChunkBytes = 512 << 10
)

// chunk is a part of an encoded configuration.
type chunk struct {
	hash string
	data []byte
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// split cuts a set in canonical order into chunks. Where a chunk ends depends on the names of its objects, so a new
// or removed object changes one or two chunks and not all that follow.
func split(set *object.Set) ([]chunk, error) {
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
		chunks = append(chunks, chunk{hash: hashOf(data), data: data})
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
		if xxhash.Sum64String(id.String())%chunkObjects == 0 {
			flush()
		}
	}
	flush()
	return chunks, nil
}

func hashes(chunks []chunk) []string {
	list := make([]string, len(chunks))
	for i, c := range chunks {
		list[i] = c.hash
	}
	return list
}
