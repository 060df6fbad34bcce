package figdeck.daemon.command.serving

import figdeck.daemon.command.jobs.ItemOutput
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.serving.noProgress
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ENDLESS = 100_000
private val maxPause = 700.milliseconds

/** A stream that sends [chunks], one every [interval] of virtual time, and counts those that were taken. */
private class PacedStream(private val interval: Duration, private val chunks: Sequence<String>) {
    private var now = Moment(0, 0)
    var taken = 0
        private set
    val clock: Clock = { now }
    val reply: UpstreamReply =
        UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), HttpBody(paced()))

    private fun paced(): Flow<ByteArray> = flow {
        chunks.forEach {
            now += interval
            taken++
            emit(it.encodeToByteArray())
        }
    }
}

private fun event(id: Int) = "id: $id\ndata: word $id\n\n"

private fun stalledAfter(events: Int) =
    PacedStream(100.milliseconds, (1..ENDLESS).asSequence().map { if (it <= events) event(it) else ":" })

private fun slowButSound() = PacedStream(maxPause, (1..200).asSequence().map { event(it) })

class StalledStreamSpec : DescribeSpec({
    val received = mutableListOf<String>()
    val caller = CallerChannel(
        start = { _, _ -> },
        write = { received += it.decodeToString() },
        full = { _, _, _ -> },
    )

    beforeEach { received.clear() }

    describe("the relay to a caller") {
        it("gives a stream up that sends bytes but completes no event") {
            val stream = stalledAfter(3)
            StreamRelay(null).relay(stream.reply, maxPause, stream.clock, caller)
                .shouldBeInstanceOf<RelayResult.Broken>().reason shouldContain "no event was completed"
            stream.taken shouldBeLessThan 12
            received.joinToString("") shouldBe (1..3).joinToString("") { event(it) }
        }

        it("passes a slow but sound stream on whole") {
            val stream = slowButSound()
            StreamRelay(null).relay(stream.reply, maxPause, stream.clock, caller) shouldBe RelayResult.Complete
            received.joinToString("") shouldBe (1..200).joinToString("") { event(it) }
        }
    }

    describe("the output of a batch item") {
        it("ends a stalled stream and keeps the events before, so that the item continues elsewhere") {
            val stream = stalledAfter(3)
            val output = ItemOutput(noProgress)
            output.collect(stream.reply, maxPause, stream.clock)
                .shouldBeInstanceOf<RelayResult.Broken>().reason shouldContain "no event was completed"
            output.progress.events.size shouldBe 3
        }

        it("is complete after a slow but sound stream") {
            val stream = slowButSound()
            val output = ItemOutput(noProgress)
            output.collect(stream.reply, maxPause, stream.clock) shouldBe RelayResult.Complete
            output.progress.events.size shouldBe 200
        }
    }
})
