package supervise

import (
	"fmt"
	"runtime/debug"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Catch runs f and returns its error. It returns a panic in f as an error of kind
// fault.Internal with the stack. It is for goroutines that no supervisor watches, where a
// panic would end the process.
func Catch(part string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = PanicError(part, cause)
		}
	}()
	return f()
}

// PanicError returns the error for a recovered panic. It must be called by the deferred
// function that recovered, so that the stack is that of the panic.
func PanicError(part string, cause any) *fault.Error {
	return fault.Wrap(fmt.Errorf("panic: %v\n%s", cause, debug.Stack()), fault.Internal, part, "unexpected error")
}
