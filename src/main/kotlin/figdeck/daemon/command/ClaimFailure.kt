package figdeck.daemon.command

/** The reason why the journal of a host could not be claimed. */
internal data class ClaimFailure(val reason: String)
