package figdeck.wire.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\n: note\nid: 3\ndata: three\n\n"

class SseFramerSpec : DescribeSpec({
    describe("a stream split into chunks") {
        (1..STREAM.length).step(7).forEach { size ->
            it("yields the same events in chunks of $size bytes") {
                val framer = SseFramer()
                val events = STREAM.chunked(size).flatMap { framer.decode(it.encodeToByteArray()) }
                events.map { it.id to it.data } shouldBe listOf(1L to "one", 2L to "two\nmore", 3L to "three")
                events.joinToString("") { it.bytes.decodeToString() } shouldBe STREAM
                framer.hasPartialEvent shouldBe false
            }
        }
    }

    describe("an incomplete event") {
        it("is not returned") {
            val framer = SseFramer()
            framer.decode("id: 1\ndata: one\n\nid: 2\nda".encodeToByteArray()).map { it.id } shouldBe listOf(1L)
            framer.hasPartialEvent shouldBe true
        }
    }
})
