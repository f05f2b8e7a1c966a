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

// Identity binds a data folder to one replica of one cluster. It is written
// once: a VM that lost its folder returns under another one.
type Identity struct {
	Cluster string              `json:"cluster"`
	Replica consensus.ReplicaID `json:"replica"`
}

// Names in a data folder.
const (
	identityName = "identity"
	// formattingName is there while a folder is being formatted.
	formattingName = "formatting"
	lockName       = "lock"
	walName        = "wal"
	snapName       = "snap"
	// lostFoundName is made by some file systems in an empty volume.
	lostFoundName = "lost+found"
)

// Format prepares an empty or missing folder for the replica. Kinds: Conflict
// for a folder that is in use or holds anything, Invalid, Unavailable.
func Format(folder string, id Identity) error {
	return formatOn(files.OS{}, folder, id)
}

func formatOn(fsys files.FS, folder string, id Identity) error {
	if err := fsys.MkdirAll(folder); err != nil {
		return unavailable(err, "cannot make folder %s", folder)
	}
	unlock, err := lock(fsys, folder)
	if err != nil {
		return err
	}
	defer unlock()
	names, err := contents(fsys, folder)
	if err != nil {
		return err
	}
	if len(names) > 0 && !interrupted(names) {
		return fault.New(fault.Conflict, part, "folder %s is not empty", folder)
	}
	return format(fsys, folder, id)
}

// format makes the folder's files; the identity comes last, so that a folder
// with an identity has an intact log.
func format(fsys files.FS, folder string, id Identity) error {
	if id.Cluster == "" || id.Replica == "" {
		return fault.New(fault.Invalid, part, "identity needs a cluster and a replica")
	}
	if err := files.Replace(fsys, filepath.Join(folder, formattingName), nil); err != nil {
		return unavailable(err, "cannot format %s", folder)
	}
	for _, name := range []string{walName, snapName} {
		if err := fsys.MkdirAll(filepath.Join(folder, name)); err != nil {
			return unavailable(err, "cannot make folder %s", name)
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
		return unavailable(err, "cannot write the identity in %s", folder)
	}
	if err := fsys.Remove(filepath.Join(folder, formattingName)); err != nil {
		return unavailable(err, "cannot finish formatting %s", folder)
	}
	return nil
}

// interrupted reports whether formatting began and did not finish.
func interrupted(names []string) bool {
	return slices.Contains(names, formattingName) && !slices.Contains(names, identityName)
}

// contents lists a folder without the lock and what the file system itself puts there.
func contents(fsys files.FS, folder string) ([]string, error) {
	names, err := fsys.List(folder)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, unavailable(err, "cannot list %s", folder)
	}
	return slices.DeleteFunc(names, func(name string) bool {
		return name == lockName || name == lostFoundName || files.Staged(name)
	}), nil
}

// loadIdentity reads the identity; in an empty folder it makes the new one that opts allow.
func loadIdentity(fsys files.FS, folder string, opts Options) (Identity, error) {
	names, err := contents(fsys, folder)
	if err != nil {
		return Identity{}, err
	}
	if len(names) == 0 || interrupted(names) {
		if opts.NewReplica == "" {
			return Identity{}, fault.New(fault.Settings, part, "folder %s is not formatted", folder)
		}
		id := Identity{Cluster: opts.Cluster, Replica: opts.NewReplica}
		return id, format(fsys, folder, id)
	}
	name := filepath.Join(folder, identityName)
	content, err := fsys.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, fault.New(fault.Corrupt, part, "folder %s holds data but no identity", folder)
	}
	if err != nil {
		return Identity{}, unavailable(err, "cannot read %s", name)
	}
	var id Identity
	if err := json.Unmarshal(content, &id); err != nil || id.Cluster == "" || id.Replica == "" {
		return Identity{}, fault.New(fault.Corrupt, part, "%s is damaged", name)
	}
	if opts.Cluster != "" && id.Cluster != opts.Cluster {
		return Identity{}, fault.New(fault.Settings, part, "folder %s belongs to cluster %q, not %q", folder, id.Cluster, opts.Cluster)
	}
	return id, nil
}
