package codec

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "api/codec"

// Bounds on encoded values, in bytes.
const (
	// MaxCommandBytes bounds one encoded command.
	MaxCommandBytes = 16 << 20
	// MaxResultBytes bounds one encoded result.
	MaxResultBytes = 16 << 20
	// MaxSnapshotBytes bounds one encoded snapshot.
	MaxSnapshotBytes = 256 << 20
)

// marshalOptions makes equal values encode equally.
var marshalOptions = proto.MarshalOptions{Deterministic: true}

// marshal encodes a message within a bound.
func marshal(m proto.Message, most int) ([]byte, error) {
	return marshalAppend(nil, m, most)
}

// marshalAppend appends an encoded message; the bound is on the whole.
func marshalAppend(data []byte, m proto.Message, most int) ([]byte, error) {
	data, err := marshalOptions.MarshalAppend(data, m)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, part, "can't encode")
	}
	if len(data) > most {
		return nil, fault.New(fault.TooLarge, part, "%d bytes encoded; the bound is %d", len(data), most)
	}
	return data, nil
}

// unmarshal decodes a message within a bound. Unknown fields are refused: a
// command that is understood in part must not be applied.
func unmarshal(data []byte, m proto.Message, most int) error {
	if len(data) > most {
		return corrupt("%d bytes; the bound is %d", len(data), most)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.Wrap(err, fault.Corrupt, part, "can't decode")
	}
	if hasUnknown(m.ProtoReflect()) {
		return corrupt("an unknown field")
	}
	return nil
}

func hasUnknown(m protoreflect.Message) bool {
	if len(m.GetUnknown()) > 0 {
		return true
	}
	if r, ok := m.Interface().(*api.LogRecord); ok {
		// Records are many, and an answer is all that they hold.
		return r.Answer != nil && len(r.Answer.ProtoReflect().GetUnknown()) > 0
	}
	found := false
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		found = fieldHasUnknown(fd, v)
		return !found
	})
	return found
}

func fieldHasUnknown(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
	if fd.Message() == nil {
		return false
	}
	if !fd.IsList() {
		return hasUnknown(v.Message())
	}
	list := v.List()
	for i := range list.Len() {
		if hasUnknown(list.Get(i).Message()) {
			return true
		}
	}
	return false
}

func corrupt(format string, args ...any) *fault.Error {
	return fault.New(fault.Corrupt, part, format, args...)
}

// narrow converts a number that must fit a byte-sized enum.
func narrow[T ~uint8](n uint32) (T, error) {
	if n > 255 {
		return 0, corrupt("the value %d is out of range", n)
	}
	return T(n), nil
}

// fixed copies bytes that must have the length of the array.
func fixed[T ~[16]byte | ~[32]byte](b []byte) (T, error) {
	var out T
	if len(b) != len(out) {
		return out, corrupt("%d bytes where %d belong", len(b), len(out))
	}
	for i := range len(out) {
		out[i] = b[i]
	}
	return out, nil
}
