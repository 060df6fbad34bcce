package figdeck.model.serving

/**
 * The outcome of an item.
 *
 * @property isComplete whether [output] is the whole output; false for an item that was abandoned.
 * @property output the data of all events in order, separated by line feeds.
 */
public data class JobResult(
    public val item: String,
    public val isComplete: Boolean,
    public val output: String,
)
