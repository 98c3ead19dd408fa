package configuration

import "os"

// HasCache reports whether the folder has a cached copy.
func HasCache(folder string) bool {
	_, err := os.Stat(cachePath(folder))
	return err == nil
}
