package configuration

import "os"

// HasCache reports whether the folder contains a cached configuration.
func HasCache(folder string) bool {
	_, err := os.Stat(cachePath(folder))
	return err == nil
}
