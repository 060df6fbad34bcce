package figdeck.model.serving

/**
 * Identifies a run: the outputs of a job's items as one owner of the job generates them. Runs of the same item may
 * differ in events with the same numbers.
 */
@JvmInline
public value class OutputRunId(public val value: String) {
    override fun toString(): String = value
}

/**
 * A segment of an output as its run saved it.
 *
 * @property run the run that generated the events.
 * @property continues the run whose first events, as many as precede [segment], are the beginning of this run; null if
 *   the run itself generated the events before, or there are none.
 */
public data class SavedSegment(
    public val run: OutputRunId,
    public val continues: OutputRunId?,
    public val segment: OutputSegment,
)

/** The output that [run] has generated so far, with the events that it continued. */
public data class RunOutput(
    public val run: OutputRunId,
    public val progress: ItemProgress,
)
