package table

import "time"

// Bounds on a table. They keep one change within one log entry.
const (
	// MaxClasses bounds the rows of a table.
	MaxClasses = 512
	// MaxNameBytes bounds the name of a class.
	MaxNameBytes = 64
	// MaxTargets bounds the targets of one class.
	MaxTargets = 64
	// MaxTargetBytes bounds the name of one target.
	MaxTargetBytes = 128
	// MaxCount bounds weight, concurrency, queue and rate.
	MaxCount = 1_000_000
	// MaxPlace bounds the place in line.
	MaxPlace = 1_000
	// MaxTokens bounds the tokens in flight of one class.
	MaxTokens = 1_000_000_000
	// MaxDeadline bounds the time from arrival to the whole answer.
	MaxDeadline = 24 * time.Hour
	// MaxCSVBytes bounds the input of ParseCSV.
	MaxCSVBytes = 256 << 10
	// MaxIDBytes bounds a change id.
	MaxIDBytes = 128
	// MaxAuthorBytes bounds the author of a change.
	MaxAuthorBytes = 128
)

// Bounds on what a State remembers.
const (
	// MaxAnswers bounds the change ids whose answers are remembered.
	MaxAnswers = 4096
	// MaxHistory bounds the accepted changes in the history.
	MaxHistory = 256
	// MaxHistoryRows bounds the rows over all changes in the history.
	MaxHistoryRows = 16 << 10
)

// maxBadCells bounds the cells that one validation error names.
const maxBadCells = 10
