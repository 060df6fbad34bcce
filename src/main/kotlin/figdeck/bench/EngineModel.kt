package figdeck.bench

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private const val PREFILL_CHUNK = 512
private const val CACHED_PREFIXES = 24

/**
 * How fast a model engine works: a step lasts [step], [perSequence] for each running sequence, [overSlots] for each
 * one beyond its slots, and [perPromptToken] for each prompt token that it reads.
 */
public data class EngineSpeed(
    public val slots: Int,
    public val step: Duration = 20.milliseconds,
    public val perSequence: Duration = 100.microseconds,
    public val overSlots: Duration = 2_500.microseconds,
    public val perPromptToken: Duration = 60.microseconds,
)

/** What one sequence did in a step. */
internal data class Progress(
    val ticket: Long,
    val finished: Boolean,
)

/** A model engine in virtual time: it batches continuously, reads prompts as they arrive and knows no priorities. */
internal class EngineModel(private val speed: EngineSpeed) {
    private class Sequence(var promptLeft: Int, var answerLeft: Int)

    private val sequences = LinkedHashMap<Long, Sequence>()
    private val prefixes = object : LinkedHashMap<Int, Unit>(CACHED_PREFIXES, 1f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Unit>): Boolean = size > CACHED_PREFIXES
    }
    private var reading = emptyMap<Long, Int>()
    private var decoding = emptySet<Long>()

    val running: Int get() = sequences.size

    var isStepping = false
        private set

    /** Starts [item], of whose answer [generated] tokens exist. */
    fun start(ticket: Long, item: TraceItem, generated: Int) {
        val cached = prefixes.put(item.prefix, Unit) != null
        val prompt = (if (cached) 0 else item.prefixTokens) + item.ownTokens + generated
        sequences[ticket] = Sequence(prompt, item.answerTokens - generated)
    }

    fun cancel(ticket: Long) {
        sequences.remove(ticket)
    }

    fun lose(): List<Long> {
        val lost = sequences.keys.toList()
        sequences.clear()
        prefixes.clear()
        return lost
    }

    /** Begins a step and says how long it lasts. */
    fun beginStep(): Duration {
        isStepping = true
        var budget = PREFILL_CHUNK
        reading = sequences.filterValues { it.promptLeft > 0 }
            .mapValues { (_, sequence) -> minOf(sequence.promptLeft, budget).also { budget -= it } }
        decoding = sequences.filterValues { it.promptLeft == 0 }.keys.toSet()
        val over = (running - speed.slots).coerceAtLeast(0)
        return speed.step + speed.perSequence * running + speed.overSlots * over +
            speed.perPromptToken * reading.values.sum()
    }

    /** Stops stepping until a sequence starts. */
    fun rest() {
        isStepping = false
    }

    /** Ends the step that was begun. */
    fun endStep(): List<Progress> {
        reading.forEach { (ticket, tokens) -> sequences[ticket]?.let { it.promptLeft -= tokens } }
        val answering = decoding + reading.keys.filter { sequences[it]?.promptLeft == 0 }
        return answering.mapNotNull { ticket -> sequences[ticket]?.let { advance(ticket, it) } }
    }

    private fun advance(ticket: Long, sequence: Sequence): Progress {
        sequence.answerLeft--
        val finished = sequence.answerLeft <= 0
        if (finished) {
            sequences.remove(ticket)
        }
        return Progress(ticket, finished)
    }
}
