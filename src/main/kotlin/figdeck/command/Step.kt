package figdeck.command

/** What a command makes of a state: the [state] that follows, and the [result] for whoever asked. */
public data class Step<S, R>(
    public val state: S,
    public val result: R,
)
