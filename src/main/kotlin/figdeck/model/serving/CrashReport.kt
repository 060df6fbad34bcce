package figdeck.model.serving

/**
 * The report that an upstream was lost before it began its answer to a request.
 *
 * @property request the id of the attempt that was lost.
 * @property start the start of the upstream that was lost.
 * @property suspects what may be the cause: the parts of its prompt and the request itself, without a recent answer.
 */
public data class CrashReport(
    public val request: String,
    public val start: UpstreamStart,
    public val suspects: Set<CrashSuspect>,
)
