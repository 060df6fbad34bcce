package figdeck.command

/** The outcome of a command: the next [state], and the [result] for the caller. */
public data class Step<S, R>(
    public val state: S,
    public val result: R,
)
