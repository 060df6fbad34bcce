package figdeck.model.serving

/** A row that hosts share about parts of prompts that may crash upstreams. */
public sealed interface CrashRiskRow {
    /** When the row was written, by the wall clock of its writer. */
    public val writtenAtMillis: Long

    /** An upstream was lost. */
    public data class Crash(
        public val report: CrashReport,
        override val writtenAtMillis: Long,
    ) : CrashRiskRow

    /** An upstream answered a prompt with [part] although it had been reported. */
    public data class Sound(
        public val part: PromptPart,
        override val writtenAtMillis: Long,
    ) : CrashRiskRow
}
