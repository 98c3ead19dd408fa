package configuration

import (
	"context"
	"io/fs"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/configstate"
)

// loadCache sends the cached configuration to the reducer, which uses it only while neither the store nor a peer has
// answered. A damaged file, detected by the zstd checksum, is logged and ignored.
func (s *Service) loadCache() {
	content, err := os.ReadFile(cachePath(s.opts.DataFolder))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var doc *configstate.Document
	if err == nil {
		doc, err = configstate.Decode(content)
	}
	if err != nil {
		s.opts.LogEvent("configuration_cache_unreadable", map[string]any{"error": err.Error()})
		return
	}
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginCache, Document: doc})
}

// queueCacheWrite queues the document for cacheWriteLoop in place of one that is still queued.
func (s *Service) queueCacheWrite(doc *configstate.Document) {
	for {
		select {
		case s.pendingCacheWrite <- doc:
			return
		default:
		}
		select {
		case <-s.pendingCacheWrite:
		default:
		}
	}
}

func (s *Service) cacheWriteLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case doc := <-s.pendingCacheWrite:
			if err := writeCacheFile(cachePath(s.opts.DataFolder), doc); err != nil {
				s.opts.LogEvent("configuration_cache_unwritable", map[string]any{"error": err.Error()})
			}
		}
	}
}

// writeCacheFile replaces the file by a rename, so that a crash leaves either the old file or the new one.
func writeCacheFile(path string, doc *configstate.Document) error {
	content, err := doc.Encode()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "write the cached configuration")
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return errors.Wrap(err, "write the cached configuration")
}
