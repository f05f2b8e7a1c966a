package storage

import (
	"encoding/json"
	"errors"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
	"github.com/wagtaildyke/wagtaildyke/root/storage/wal"
)

// Identity binds a data folder to one replica of one cluster. It is never rewritten: a
// VM that lost its data folder rejoins with a new replica id.
type Identity struct {
	Cluster string              `json:"cluster"`
	Replica consensus.ReplicaID `json:"replica"`
}

// Names of files and folders in a data folder.
const (
	identityName = "identity"
	// formattingName exists while a folder is being formatted.
	formattingName = "formatting"
	lockName       = "lock"
	walName        = "wal"
	snapName       = "snap"
	// lostFoundName is created by some file systems at the root of a new volume.
	lostFoundName = "lost+found"
)

// Format initializes an empty or missing folder for a replica. Error kinds: Conflict
// if the folder is in use or not empty, Invalid, Unavailable.
func Format(folder string, id Identity) error {
	return formatFS(files.OS{}, folder, id)
}

func formatFS(fsys files.FS, folder string, id Identity) error {
	if err := fsys.MkdirAll(folder); err != nil {
		return unavailableError(err, "cannot create folder %s", folder)
	}
	unlock, err := lock(fsys, folder)
	if err != nil {
		return err
	}
	defer unlock()
	names, err := listFolder(fsys, folder)
	if err != nil {
		return err
	}
	if len(names) > 0 && !formatInterrupted(names) {
		return fault.New(fault.Conflict, part, "folder %s is not empty", folder)
	}
	return format(fsys, folder, id)
}

// format creates the files of the folder. It writes the identity last, so that a folder
// with an identity always has an intact log.
func format(fsys files.FS, folder string, id Identity) error {
	if id.Cluster == "" || id.Replica == "" {
		return fault.New(fault.Invalid, part, "an identity needs a cluster and a replica id")
	}
	if err := files.Replace(fsys, filepath.Join(folder, formattingName), nil); err != nil {
		return unavailableError(err, "cannot format %s", folder)
	}
	for _, name := range []string{walName, snapName} {
		if err := fsys.MkdirAll(filepath.Join(folder, name)); err != nil {
			return unavailableError(err, "cannot create folder %s", name)
		}
	}
	if err := wal.Create(fsys, filepath.Join(folder, walName)); err != nil {
		return err
	}
	content, err := json.Marshal(id)
	if err != nil {
		return fault.Wrap(err, fault.Internal, part, "cannot encode the identity")
	}
	if err := files.Replace(fsys, filepath.Join(folder, identityName), content); err != nil {
		return unavailableError(err, "cannot write the identity in %s", folder)
	}
	if err := fsys.Remove(filepath.Join(folder, formattingName)); err != nil {
		return unavailableError(err, "cannot finish formatting %s", folder)
	}
	return nil
}

// formatInterrupted reports whether an earlier format did not complete.
func formatInterrupted(names []string) bool {
	return slices.Contains(names, formattingName) && !slices.Contains(names, identityName)
}

// listFolder lists a folder without the lock file, temporary files, and lost+found.
func listFolder(fsys files.FS, folder string) ([]string, error) {
	names, err := fsys.List(folder)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, unavailableError(err, "cannot list %s", folder)
	}
	return slices.DeleteFunc(names, func(name string) bool {
		return name == lockName || name == lostFoundName || files.IsStaged(name)
	}), nil
}

// loadIdentity reads the identity of a folder. It formats an empty folder, or one whose
// formatting was interrupted, with opts.NewReplica if that is set.
func loadIdentity(fsys files.FS, folder string, opts Options) (Identity, error) {
	names, err := listFolder(fsys, folder)
	if err != nil {
		return Identity{}, err
	}
	if len(names) == 0 || formatInterrupted(names) {
		if opts.NewReplica == "" {
			return Identity{}, fault.New(fault.Settings, part, "folder %s is not formatted", folder)
		}
		id := Identity{Cluster: opts.Cluster, Replica: opts.NewReplica}
		return id, format(fsys, folder, id)
	}
	name := filepath.Join(folder, identityName)
	content, err := fsys.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, fault.New(fault.Corrupt, part, "folder %s contains data but no identity", folder)
	}
	if err != nil {
		return Identity{}, unavailableError(err, "cannot read %s", name)
	}
	var id Identity
	if err := json.Unmarshal(content, &id); err != nil || id.Cluster == "" || id.Replica == "" {
		return Identity{}, fault.New(fault.Corrupt, part, "%s is corrupt", name)
	}
	if opts.Cluster != "" && id.Cluster != opts.Cluster {
		return Identity{}, fault.New(fault.Settings, part, "folder %s belongs to cluster %q, not %q", folder, id.Cluster, opts.Cluster)
	}
	return id, nil
}
