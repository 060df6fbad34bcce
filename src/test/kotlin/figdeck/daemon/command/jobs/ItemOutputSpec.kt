package figdeck.daemon.command.jobs

import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.RelayResult
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.model.Moment
import figdeck.model.serving.noProgress
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlin.time.Duration.Companion.seconds

private fun event(id: Long, data: String) = "id: $id\ndata: $data\n\n".encodeToByteArray()

private fun reply(chunks: Flow<ByteArray>) =
    UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), HttpBody(chunks), isDelimited = true)

private fun endless(firstId: Long, data: String) = flow {
    var id = firstId
    while (true) emit(event(id++, data))
}

private suspend fun ItemOutput.collect(chunks: Flow<ByteArray>): RelayResult =
    collect(reply(chunks), 2.seconds, { Moment(0, 0) })

class ItemOutputSpec : DescribeSpec({
    // Guards against an output that takes all memory, and against a sound output that is lost to such an upstream.
    describe("an output whose upstream sends events with the next ids without end") {
        listOf("short events" to "", "long events" to "a".repeat(100_000)).forEach { (name, data) ->
            it("goes on from where it was, and what was saved of the endless events is discarded: $name") {
                var discards = 0
                val output = ItemOutput(noProgress) { discards++ }
                output.collect(flowOf(event(1, "one"))) shouldBe RelayResult.Complete
                output.collect(endless(2, data)).shouldBeInstanceOf<RelayResult.Broken>()
                output.text shouldBe "one"
                discards shouldBe 1
                output.collect(flowOf(event(2, "two"))) shouldBe RelayResult.Complete
                output.text shouldBe "one\ntwo"
            }
        }
    }
})
