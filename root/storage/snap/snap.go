// Package snap stores snapshots of the replicated state in checksummed files.
package snap

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
	"github.com/wagtaildyke/wagtaildyke/root/storage/record"
)

const part = "storage/snap"

const (
	magic      = "WTDSNAP1"
	nameFormat = "%020d.snap"
)

// Save writes a snapshot and syncs it. Error kinds: TooLarge, Unavailable.
func Save(fs files.FS, dir string, s consensus.Snapshot) error {
	// The payload also contains the position and the members. Half of it is left for
	// them; their size is not checked.
	if len(s.Data) > record.MaxPayloadBytes/2 {
		return fault.New(fault.TooLarge, part, "snapshot of %d bytes is too large", len(s.Data))
	}
	if err := files.Replace(fs, fileName(dir, s.Index), Encode(s)); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "cannot write snapshot %d", s.Index)
	}
	return nil
}

// Encode returns the content of a snapshot file.
func Encode(s consensus.Snapshot) []byte {
	payload := record.AppendSnapshot(nil, s)
	return record.Append([]byte(magic), record.Frame{Kind: record.Snapshot, Last: true, Payload: payload})
}

// Decode decodes the content of a snapshot file. It reports false if the content is
// corrupt.
func Decode(data []byte) (consensus.Snapshot, bool) {
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		return consensus.Snapshot{}, false
	}
	frame, size, ok := record.Parse(data[len(magic):])
	if !ok || frame.Kind != record.Snapshot || len(magic)+size != len(data) {
		return consensus.Snapshot{}, false
	}
	r := record.NewReader(frame.Payload)
	s := r.Snapshot()
	return s, r.Done()
}

// Indexes returns the log indexes of the stored snapshots, newest first. Error kind:
// Unavailable.
func Indexes(fs files.FS, dir string) ([]uint64, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, part, "cannot list snapshots")
	}
	var indexes []uint64
	for _, name := range names {
		var index uint64
		if n, _ := fmt.Sscanf(name, nameFormat, &index); n == 1 && name == fmt.Sprintf(nameFormat, index) {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	slices.Reverse(indexes)
	return indexes, nil
}

// Load reads the snapshot at index. Error kinds: Corrupt, Unavailable.
func Load(fs files.FS, dir string, index uint64) (consensus.Snapshot, error) {
	name := fileName(dir, index)
	data, err := fs.ReadFile(name)
	if err != nil {
		return consensus.Snapshot{}, fault.Wrap(err, fault.Unavailable, part, "cannot read %s", name)
	}
	s, ok := Decode(data)
	if !ok || s.Index != index {
		return consensus.Snapshot{}, fault.New(fault.Corrupt, part, "%s is corrupt", name)
	}
	return s, nil
}

// Prune removes all but the newest keep snapshots. It returns the index of the oldest
// remaining one, or 0 if there is none. Error kind: Unavailable.
func Prune(fs files.FS, dir string, keep int) (uint64, error) {
	indexes, err := Indexes(fs, dir)
	if err != nil || len(indexes) == 0 {
		return 0, err
	}
	for len(indexes) > keep {
		oldest := indexes[len(indexes)-1]
		if err := fs.Remove(fileName(dir, oldest)); err != nil {
			return 0, fault.Wrap(err, fault.Unavailable, part, "cannot remove snapshot %d", oldest)
		}
		indexes = indexes[:len(indexes)-1]
	}
	return indexes[len(indexes)-1], nil
}

// fileName returns the path of the snapshot at index.
func fileName(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf(nameFormat, index))
}
