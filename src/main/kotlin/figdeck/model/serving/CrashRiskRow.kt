package figdeck.model.serving

/** A row that hosts share about parts of prompts, and requests, that may crash upstreams. */
public sealed interface CrashRiskRow {
    /** When the row was written, by the wall clock of its writer. */
    public val writtenAtMillis: Long

    /** An upstream was lost. */
    public data class Crash(
        public val report: CrashReport,
        override val writtenAtMillis: Long,
    ) : CrashRiskRow

    /** An upstream answered a request with [suspect] although it had been reported. */
    public data class Sound(
        public val suspect: CrashSuspect,
        override val writtenAtMillis: Long,
    ) : CrashRiskRow
}
