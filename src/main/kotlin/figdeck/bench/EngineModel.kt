package figdeck.bench

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private const val PREFILL_CHUNK_TOKENS = 512
private const val MAX_CACHED_PREFIXES = 24

/**
 * The speed of a model engine. A step takes [step], plus [perSequence] for each running sequence, plus
 * [perSequenceOverSlots] for each sequence beyond [slots], plus [perPromptToken] for each prefilled prompt token.
 */
public data class EngineSpeed(
    public val slots: Int,
    public val step: Duration = 20.milliseconds,
    public val perSequence: Duration = 100.microseconds,
    public val perSequenceOverSlots: Duration = 2_500.microseconds,
    public val perPromptToken: Duration = 60.microseconds,
)

/** The progress of a sequence that generated a token in a step. */
internal data class SequenceProgress(
    val ticket: Long,
    val finished: Boolean,
)

/** A model engine in virtual time, with continuous batching, chunked prefill and no priorities. */
internal class EngineModel(private val speed: EngineSpeed) {
    private class Sequence(var promptTokensLeft: Int, var answerTokensLeft: Int)

    private val sequences = LinkedHashMap<Long, Sequence>()
    private val prefixes = object : LinkedHashMap<Int, Unit>(MAX_CACHED_PREFIXES, 1f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Unit>): Boolean = size > MAX_CACHED_PREFIXES
    }
    private var prefilling = emptyMap<Long, Int>()
    private var decoding = emptySet<Long>()

    val running: Int get() = sequences.size

    var isStepping = false
        private set

    /** Starts [item] after its first [generated] answer tokens, which become part of the prompt. */
    fun start(ticket: Long, item: TraceItem, generated: Int) {
        val cached = prefixes.put(item.prefix, Unit) != null
        val prompt = (if (cached) 0 else item.prefixTokens) + item.ownTokens + generated
        sequences[ticket] = Sequence(prompt, item.answerTokens - generated)
    }

    fun cancel(ticket: Long) {
        sequences.remove(ticket)
    }

    fun fail(): List<Long> {
        val lost = sequences.keys.toList()
        sequences.clear()
        prefixes.clear()
        return lost
    }

    /** Begins a step and returns its duration. */
    fun beginStep(): Duration {
        isStepping = true
        var budget = PREFILL_CHUNK_TOKENS
        prefilling = sequences.filterValues { it.promptTokensLeft > 0 }
            .mapValues { (_, sequence) -> minOf(sequence.promptTokensLeft, budget).also { budget -= it } }
        decoding = sequences.filterValues { it.promptTokensLeft == 0 }.keys.toSet()
        val excess = (running - speed.slots).coerceAtLeast(0)
        return speed.step + speed.perSequence * running + speed.perSequenceOverSlots * excess +
            speed.perPromptToken * prefilling.values.sum()
    }

    /** Marks the engine as idle until a sequence starts. */
    fun stopStepping() {
        isStepping = false
    }

    /** Ends the current step and returns the progress of every sequence that generated a token. */
    fun endStep(): List<SequenceProgress> {
        prefilling.forEach { (ticket, tokens) -> sequences[ticket]?.let { it.promptTokensLeft -= tokens } }
        val answering = decoding + prefilling.keys.filter { sequences[it]?.promptTokensLeft == 0 }
        return answering.mapNotNull { ticket -> sequences[ticket]?.let { advance(ticket, it) } }
    }

    private fun advance(ticket: Long, sequence: Sequence): SequenceProgress {
        sequence.answerTokensLeft--
        val finished = sequence.answerTokensLeft <= 0
        if (finished) {
            sequences.remove(ticket)
        }
        return SequenceProgress(ticket, finished)
    }
}
