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

// maxPast is the number of earlier versions that a head names. They let a publisher say which objects both sides
// of a race changed, and settle a publish that others have built upon. At the target size a version has about 60
// chunks, so a head stays below 50 KB.
const maxPast = 8

// version is one published configuration.
type version struct {
	Generation ident.Generation `json:"generation"`
	// PublishID is chosen by the publisher. It tells apart publishes of the same generation.
	PublishID string   `json:"publish_id"`
	Chunks    []string `json:"chunks"`
}

// head is the value of HeadKey.
type head struct {
	version
	// Past are earlier versions, oldest first.
	Past []version `json:"past,omitempty"`
	// Collected changes with each run of the collector, so that publishers that read the head before it start again.
	Collected string `json:"collected,omitempty"`
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := json.Unmarshal(data, &h); err != nil {
		return head{}, errors.Wrapf(ErrCorrupt, "head: %v", err)
	}
	if h.Generation == 0 || h.PublishID == "" {
		return head{}, errors.Wrap(ErrCorrupt, "head: no generation or publish id")
	}
	return h, nil
}

// next returns the head that follows with a new version.
func (h head) next(v version) head {
	past := append([]version(nil), h.Past...)
	if h.Generation > 0 {
		past = append(past, h.version)
	}
	if len(past) > maxPast {
		past = past[len(past)-maxPast:]
	}
	return head{version: v, Past: past, Collected: h.Collected}
}

// includes says whether the head or one of its past versions is the publish.
func (h head) includes(publishID string) bool {
	for _, v := range h.versions() {
		if v.PublishID == publishID {
			return true
		}
	}
	return false
}

// reaches says whether the head's past versions go back to the generation, so that a missing publish id proves that
// the publish was not written after it.
func (h head) reaches(gen ident.Generation) bool {
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

func (h head) versions() []version { return append([]version{h.version}, h.Past...) }

// find returns the version with a generation.
func (h head) find(gen ident.Generation) (version, bool) {
	for _, v := range h.versions() {
		if v.Generation == gen {
			return v, true
		}
	}
	return version{}, false
}

// named returns the chunks of all versions.
func (h head) named() map[string]bool {
	named := make(map[string]bool)
	for _, v := range h.versions() {
		for _, hash := range v.Chunks {
			named[hash] = true
		}
	}
	return named
}
