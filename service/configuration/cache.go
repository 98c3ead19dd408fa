package configuration

import (
	"context"
	"io/fs"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/configstate"
)

// loadCache offers the cached copy to the reducer, which uses it only while neither the store nor a peer
// has answered. A damaged copy is ignored; zstd's checksum detects it.
func (s *Service) loadCache() {
	b, err := os.ReadFile(cachePath(s.opts.DataFolder))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var d *configstate.Document
	if err == nil {
		d, err = configstate.Decode(b)
	}
	if err != nil {
		s.opts.LogEvent("configuration_cache_unreadable", map[string]any{"error": err.Error()})
		return
	}
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginCache, Document: d})
}

// queueCacheWrite replaces a document that waits to be written by a newer one.
func (s *Service) queueCacheWrite(d *configstate.Document) {
	for {
		select {
		case s.pendingCacheWrite <- d:
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
		case d := <-s.pendingCacheWrite:
			if err := writeCacheFile(cachePath(s.opts.DataFolder), d); err != nil {
				s.opts.LogEvent("configuration_cache_unwritable", map[string]any{"error": err.Error()})
			}
		}
	}
}

// writeCacheFile replaces the file by a rename, so that a crash leaves the old copy or the new one.
func writeCacheFile(path string, d *configstate.Document) error {
	b, err := d.Encode()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "write the cached configuration")
	}
	_, err = f.Write(b)
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
