package turns

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// syncedFS syncs the folder of each file that is created or renamed before the file is used. The engine creates its
// manifest, then the marker that names it, and then syncs the folder: a loss of power in between can keep the marker and
// lose the manifest, and the engine does not open without it.
type syncedFS struct{ vfs.FS }

// Create implements vfs.FS.
func (f syncedFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, category)
	if err != nil {
		return nil, err
	}
	if err := f.syncFolderOf(name); err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	return file, nil
}

// Rename implements vfs.FS.
func (f syncedFS) Rename(oldName, newName string) error {
	if err := f.FS.Rename(oldName, newName); err != nil {
		return err
	}
	return f.syncFolderOf(newName)
}

// ReuseForWrite implements vfs.FS.
func (f syncedFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.ReuseForWrite(oldName, newName, category)
	if err != nil {
		return nil, err
	}
	if err := f.syncFolderOf(newName); err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	return file, nil
}

// Unwrap implements vfs.FS.
func (f syncedFS) Unwrap() vfs.FS { return f.FS }

func (f syncedFS) syncFolderOf(name string) error {
	folder, err := f.OpenDir(f.PathDir(name))
	if err != nil {
		return errors.Wrapf(err, "open the folder of %s", name)
	}
	return errors.Wrapf(errors.CombineErrors(folder.Sync(), folder.Close()), "sync the folder of %s", name)
}
