package figdeck.daemon.command

/** The journal of a host could not be claimed now. */
internal data class ClaimFailure(val reason: String)
