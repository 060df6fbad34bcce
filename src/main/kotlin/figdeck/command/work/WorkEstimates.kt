package figdeck.command.work

/** What a host has learned about the work of generations. */
public data class WorkEstimates(public val observations: Long)

/** The state of a host that has learned nothing yet. */
public val noWorkEstimates: WorkEstimates = WorkEstimates(0)
