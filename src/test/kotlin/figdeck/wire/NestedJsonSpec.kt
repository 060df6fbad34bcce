package figdeck.wire

import figdeck.wire.command.decodeStoredLine
import figdeck.wire.command.decodeTemplate
import figdeck.wire.command.encodeStoredLine
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.FutureTask

private const val NESTING = 20_000

/** The stack of a daemon's threads, in bytes. */
private const val SMALL_STACK = 256L * 1024

private fun <T> onSmallStack(decode: () -> T): T {
    val task = FutureTask(decode)
    Thread(null, task, "decoder", SMALL_STACK).start()
    return task.get()
}

class NestedJsonSpec : DescribeSpec({
    describe("input nested so deeply that a recursive parser runs out of stack") {
        val deep = "[".repeat(NESTING) + "]".repeat(NESTING)

        it("is refused as a tree") {
            onSmallStack { lenientJson.decodeTree(deep) }.isLeft() shouldBe true
        }

        it("is refused as the item of a batch job, so that it ends no host that runs the job") {
            val line = storedItem(deep)
            onSmallStack { decodeStoredLine(line) }.item.isLeft() shouldBe true
        }

        it("is refused as a template") {
            onSmallStack { decodeTemplate("""{"name":"t","upstreams":$deep}""") }.isLeft() shouldBe true
        }
    }

    describe("brackets within texts") {
        it("don't count as nesting") {
            val text = """["\"${"[{".repeat(NESTING)}"]"""
            lenientJson.decodeTree(text).isRight() shouldBe true
        }
    }
})

private fun storedItem(body: String) =
    encodeStoredLine("""{"custom_id":"item-1","body":$body}""")
