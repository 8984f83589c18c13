package membership

// For the test of sizes.
var (
	ChangeSize = changeSize
	RecordSize = recordSize
)
