package promoter

// Decide returns what a StatusCmd leads to, given the newest record of the service in the
// store: the message that reports it, and whether the record is to be written first, which
// must fail if anything was written since. An outcome is written only over the record that
// the same roll-out is under way, so that it is neither taken back nor written over that of
// a later order.
func Decide(held StatusMsg, cmd StatusCmd) (msg StatusMsg, write bool) {
	msg = StatusMsg{Service: cmd.Service, ToVersion: cmd.ToVersion}
	same := held.ToVersion == cmd.ToVersion
	if same {
		msg.Phase = held.Phase
	}
	switch {
	case cmd.Write == Unknown, same && held.Phase.IsOutcome(), same && held.Phase == cmd.Write:
		return msg, false
	case cmd.Write == Trial:
		return msg, true
	default:
		return msg, same && held.Phase == Trial
	}
}
