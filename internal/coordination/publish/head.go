package publish

import (
	"encoding/json"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// HeadKey is the key of the head.
	HeadKey = "config/head"
	// ChunkPrefix is followed by the hexadecimal SHA-256 hash of the chunk's content.
	ChunkPrefix = "config/chunk/"
)

// maxPast is the maximum number of earlier versions in a head. They let a publisher report which objects both sides of
// a conflict changed, and find out that its publish took effect after others have published on top of it. At the target
// size a version has about 60 chunks, so a head stays below 50 KB.
const maxPast = 8

// version identifies one published configuration and its chunks.
type version struct {
	Generation ident.Generation `json:"generation"`
	// PublishID is chosen at random by the publisher. It distinguishes publishes of the same generation.
	PublishID string `json:"publish_id"`
	// Chunks are the hashes of the chunks, in order.
	Chunks []string `json:"chunks"`
}

// head is the value of HeadKey.
type head struct {
	version
	// Past are earlier versions, oldest first.
	Past []version `json:"past,omitempty"`
	// Collected gets a new random value in each garbage collection, so that publishers that read the head before it
	// start again.
	Collected string `json:"collected,omitempty"`
	// Cluster is the identity of the store's data when the current version was published, or empty if it was not known.
	Cluster string `json:"cluster,omitempty"`
	// raw is the value that the head was decoded from.
	raw []byte
}

// decodeHead decodes a head. It returns ErrCorrupt for malformed or incomplete data.
func decodeHead(data []byte) (head, error) {
	var h head
	if err := json.Unmarshal(data, &h); err != nil {
		return head{}, errors.Wrapf(ErrCorrupt, "head: %v", err)
	}
	if h.Generation == 0 || h.PublishID == "" {
		return head{}, errors.Wrap(ErrCorrupt, "head: no generation or publish id")
	}
	h.raw = data
	return h, nil
}

// next returns the head that makes v, published in a cluster, the current version and appends the previous one to Past.
func (h head) next(v version, cluster string) head {
	past := append([]version(nil), h.Past...)
	if h.Generation > 0 {
		past = append(past, h.version)
	}
	if len(past) > maxPast {
		past = past[len(past)-maxPast:]
	}
	return head{version: v, Past: past, Collected: h.Collected, Cluster: cluster}
}

// includes reports whether the publish with the generation is the head's version or one of its past versions.
func (h head) includes(gen ident.Generation, publishID string) bool {
	v, ok := h.find(gen)
	return ok && v.PublishID == publishID
}

// pastReaches reports whether the head's versions go back to the generation. If they do, the absence of a publish id
// proves that the publish was not written after that generation.
func (h head) pastReaches(gen ident.Generation) bool {
	if h.Generation == gen || gen == 0 && len(h.Past) < maxPast {
		return true
	}
	for _, v := range h.Past {
		if v.Generation <= gen {
			return true
		}
	}
	return false
}

// versions returns the current version and the past ones.
func (h head) versions() []version { return append([]version{h.version}, h.Past...) }

// find returns the version with the generation, and whether there is one.
func (h head) find(gen ident.Generation) (version, bool) {
	for _, v := range h.versions() {
		if v.Generation == gen {
			return v, true
		}
	}
	return version{}, false
}

// referencedChunks returns the hashes of the chunks of all versions.
func (h head) referencedChunks() map[string]bool {
	referenced := make(map[string]bool)
	for _, v := range h.versions() {
		for _, hash := range v.Chunks {
			referenced[hash] = true
		}
	}
	return referenced
}
