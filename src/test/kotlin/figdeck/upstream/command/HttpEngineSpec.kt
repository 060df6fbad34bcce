package figdeck.upstream.command

import figdeck.http.client.HttpClient
import figdeck.http.wholeResponse
import figdeck.model.DataCentre
import figdeck.model.ModelName
import figdeck.model.RequestId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.Work
import figdeck.wire.command.CompletionChunk
import figdeck.wire.command.CompletionMetadata
import figdeck.wire.command.DONE_EVENT
import figdeck.wire.command.encodeChunk
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler

private val model = ModelName("walks")

/** The stream of a completion whose only text is [content]. */
private fun completionOf(content: String): String {
    val metadata = CompletionMetadata(RequestId("r"), model, 0)
    val chunks = listOf(CompletionChunk(content, null), CompletionChunk("", "stop")).map { encodeChunk(metadata, it) }
    return wholeResponse((chunks + DONE_EVENT).joinToString("") { "data: $it\n\n" })
}

class HttpEngineSpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val client = HttpClient(eventLoops)

    afterSpec {
        client.close()
        eventLoops.shutdownGracefully()
    }

    describe("a generation at an engine whose completions come twice, the second time late") {
        // Guards against a caller that gets the text of an earlier generation on the same connection.
        it("is not answered with the copy of an earlier completion") {
            answeringTwice { completionOf("text of $it") }.use {
                val upstream = Upstream(UpstreamId("u"), it.address, DataCentre("a"), UpstreamKind.ENGINE, 1, false)
                val chat = Work.Chat(model, emptyList(), maxTokens = 1, stream = true)
                val texts = listOf("first", "second", "third").map { id ->
                    val deltas = StringBuilder()
                    val generation = Generation(upstream, RequestId(id), chat, generated = "")
                    generateOverHttp(client, "credential", generation) { deltas.append(it) }
                    deltas.toString()
                }
                texts shouldBe listOf("text of first", "text of second", "text of third")
            }
        }
    }
})
