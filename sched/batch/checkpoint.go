package batch

// repetition tracks a run that may be carried out once more, by a process that was restarted
// under the same id, from the checkpoint that its start named.
type repetition struct {
	possible bool
	// checkpoint is the one in the latest report of the repeated run.
	checkpoint string
}

// takeCheckpoint records a checkpoint that a run or its end has listed, with the progress that it
// listed at the same time. That of a repetition counts only if it was produced after the run had
// made as much progress as the first time when the known one was listed. It returns false if
// nothing has changed.
func (t *task) takeCheckpoint(checkpoint string, percent int) bool {
	if t.repetition.possible && t.Checkpoint != "" {
		overtaken := t.percent >= t.CheckpointPercent && checkpoint != t.repetition.checkpoint
		t.repetition.checkpoint = checkpoint
		if !overtaken {
			return false
		}
	}
	if checkpoint == "" || checkpoint == t.Checkpoint {
		return false
	}
	t.repetition = repetition{}
	t.Checkpoint = checkpoint
	t.CheckpointPercent = min(max(t.CheckpointPercent, percent, 1), 100)
	return true
}

// dropCheckpoint forgets the checkpoint of a task that needs none any more.
func (t *task) dropCheckpoint() { t.Checkpoint, t.CheckpointPercent = "", 0 }

// resumeFrom makes a checkpoint the one that the next run of the task starts from.
func (t *task) resumeFrom(checkpoint string) {
	t.Checkpoint, t.CheckpointPercent = checkpoint, 0
	t.repetition = repetition{}
}

// commonCheckpoint returns the checkpoint of the member that had made the most progress; it is
// valid for all of them.
func commonCheckpoint(gang []*task) string {
	var latest *task
	for _, t := range gang {
		if t.Checkpoint != "" && (latest == nil || t.CheckpointPercent > latest.CheckpointPercent) {
			latest = t
		}
	}
	if latest == nil {
		return ""
	}
	return latest.Checkpoint
}
