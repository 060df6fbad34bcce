package figdeck.daemon.command.serving

import figdeck.model.Moment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val maxPause = 700.milliseconds

private fun event(id: Int) = "id: $id\ndata: word\n\n"

/** The time from [start] at which the reader gives up a stream that sends [text] every [interval]; null if never. */
private fun givesUpAfter(interval: Duration, text: (Int) -> String): Duration? {
    val reader = EventReader(maxPause, start)
    return (1..1_000).firstOrNull { reader.read(text(it).encodeToByteArray(), start + interval * it).isLeft() }
        ?.let { interval * it }
}

class EventReaderSpec : DescribeSpec({
    describe("a slow but sound stream") {
        it("is read for as long as each event comes within the allowed pause") {
            givesUpAfter(maxPause) { event(it) } shouldBe null
        }

        it("is read if each event comes in pieces") {
            givesUpAfter(maxPause / 2) { event(it / 2).chunked(10)[it % 2] } shouldBe null
        }
    }

    describe("a stalled stream") {
        listOf<Pair<String, (Int) -> String>>(
            "single bytes" to { "a" },
            "comments" to { ":\n" },
            "events without content" to { ":\n\n" },
            "new beginnings of an event" to { "id: 1\n" },
        ).forEach { (name, text) ->
            it("is given up after the allowed pause although it sends $name") {
                givesUpAfter(100.milliseconds, text) shouldBe maxPause + 100.milliseconds
            }
        }
    }

    describe("an event with a status line") {
        it("is read if the line is part of its text") {
            val reader = EventReader(maxPause, start)
            listOf(
                "id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 4\n\n",
                "x-weight-versions: 2\nid: 2\ndata: HTTP/1.1 404\n\n",
                ": HTTP/1.1 200\n\n",
            ).forEach { reader.read(it.encodeToByteArray(), start).isRight() shouldBe true }
        }

        it("is no event if headers follow it") {
            listOf(
                "id: 1\ndata: woHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
                "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
            ).forEach { EventReader(maxPause, start).read(it.encodeToByteArray(), start).isLeft() shouldBe true }
        }
    }

    describe("an event without end") {
        it("is given up before it takes much memory") {
            val reader = EventReader(60.seconds, start)
            val chunk = "a".repeat(64 * 1024).encodeToByteArray()
            val accepted = (1..100).takeWhile { reader.read(chunk, start).isRight() }.size
            accepted shouldBe 4
        }
    }

    describe("time in which the caller did not take the events") {
        it("is no pause of the stream") {
            val reader = EventReader(maxPause, start)
            reader.read(event(1).encodeToByteArray(), start)
            reader.exclude(5.seconds)
            reader.read("id".encodeToByteArray(), start + 5.seconds + maxPause).isRight() shouldBe true
        }
    }
})
