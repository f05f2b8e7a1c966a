package table

import "time"

// Limits of a table. MaxCSVBytes also keeps a change that was read from CSV small
// enough for one log entry.
const (
	// MaxClasses limits the rows of a table.
	MaxClasses = 512
	// MaxNameBytes limits the name of a class.
	MaxNameBytes = 64
	// MaxTargets limits the targets of one class.
	MaxTargets = 64
	// MaxTargetBytes limits the name of one target.
	MaxTargetBytes = 128
	// MaxCount limits weight, concurrency, queue and rate.
	MaxCount = 1_000_000
	// MaxPriority limits the priority.
	MaxPriority = 1_000
	// MaxTokens limits the tokens in flight of one class.
	MaxTokens = 1_000_000_000
	// MaxDeadline limits the time from arrival to the complete response.
	MaxDeadline = 24 * time.Hour
	// MaxCSVBytes limits the input of ParseCSV.
	MaxCSVBytes = 256 << 10
	// MaxIDBytes limits a change id.
	MaxIDBytes = 128
	// MaxAuthorBytes limits the author of a change.
	MaxAuthorBytes = 128
)

// Limits of what a State keeps.
const (
	// MaxAnswers limits the change ids whose answers are kept.
	MaxAnswers = 4096
	// MaxHistory limits the accepted changes in the history.
	MaxHistory = 256
	// MaxHistoryRows limits the total rows of all changes in the history.
	MaxHistoryRows = 16 << 10
)

// maxCellErrors limits the cells that one validation error reports.
const maxCellErrors = 10
