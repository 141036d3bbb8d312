package laburnumdisk

import "os"

// Files is the set of file operations that the store needs. All paths are full paths. Tests
// wrap it to make single operations fail.
type Files interface {
	MakeFolder(path string) error
	// List returns the names of the files in the folder, sorted.
	List(folder string) ([]string, error)
	Read(path string) ([]byte, error)
	// OpenAppend opens the file for appending, and creates it if it doesn't exist.
	OpenAppend(path string) (File, error)
	// Create creates the file, or truncates it if it exists.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	Truncate(path string, size int64) error
	// SyncFolder makes creations, renames and removals in the folder durable.
	SyncFolder(folder string) error
}

// File is a file that is open for writing.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// osFiles implements Files with package os.
type osFiles struct{}

// OSFiles returns the file operations of the operating system.
func OSFiles() Files { return osFiles{} }

func (osFiles) MakeFolder(path string) error { return os.MkdirAll(path, folderMode) }

func (osFiles) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

func (osFiles) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
}

func (osFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) Truncate(path string, size int64) error { return os.Truncate(path, size) }

func (osFiles) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
