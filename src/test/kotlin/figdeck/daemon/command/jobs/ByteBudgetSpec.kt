package figdeck.daemon.command.jobs

import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Work that holds a part of a budget until told to end. */
private class Holders(private val budget: ByteBudget) {
    val running = CopyOnWriteArrayList<String>()
    private val scope = CoroutineScope(Dispatchers.Default)
    private val ends = mutableMapOf<String, CompletableDeferred<Unit>>()

    fun start(name: String, bytes: Long, actual: Long = bytes) = scope.launch {
        budget.withBytes(bytes) { reservation ->
            reservation.resize(actual)
            running += name
            ends.getValue(name).await()
            running -= name
        }
    }.also { delayUntilQueued() }

    fun expect(vararg names: String) = names.forEach { ends[it] = CompletableDeferred() }

    fun end(name: String) = ends.getValue(name).complete(Unit)

    private fun delayUntilQueued() = Thread.sleep(QUEUE_MILLIS)
}

private const val QUEUE_MILLIS = 50L

class ByteBudgetSpec : DescribeSpec({
    describe("a budget of 100 bytes") {
        it("admits work in order, when earlier work has freed its bytes") {
            val budget = ByteBudget(limit = 100)
            val holders = Holders(budget).apply { expect("a", "b", "c") }
            holders.start("a", 60)
            holders.start("b", 60)
            holders.start("c", 10)
            holders.running shouldBe listOf("a")
            holders.end("a")
            eventually(5.seconds) { holders.running.toSet() == setOf("b", "c") }
            holders.end("b")
            holders.end("c")
            eventually(5.seconds) { budget.usedBytes == 0L }
        }

        it("refuses work that it can't admit in time, and admits it later") {
            val budget = ByteBudget(limit = 100)
            val holders = Holders(budget).apply { expect("a") }
            holders.start("a", 60)
            budget.withBytesWithin(50.milliseconds, 60) { error("there is no room") } shouldBe null
            holders.end("a")
            eventually(5.seconds) { budget.usedBytes == 0L }
            budget.withBytesWithin(50.milliseconds, 60) { budget.usedBytes } shouldBe 60L
            budget.usedBytes shouldBe 0L
        }

        // Guards against bytes that stay reserved for good because a caller left just when it got them.
        it("frees the bytes of callers that leave, or wait too long, at any moment") {
            val budget = ByteBudget(limit = 100)
            val scope = CoroutineScope(Dispatchers.Default)
            val random = Random(5)
            repeat(400) {
                val callers = List(10) {
                    scope.launch {
                        budget.withBytesWithin(random.nextLong(3).milliseconds, 40) { delay(random.nextLong(2)) }
                    }
                }
                delay(random.nextLong(3))
                callers.filter { random.nextBoolean() }.forEach { it.cancel() }
                callers.forEach { it.join() }
                budget.usedBytes shouldBe 0L
            }
        }

        it("admits work that is larger than itself, alone") {
            val budget = ByteBudget(limit = 100)
            val holders = Holders(budget).apply { expect("large", "small") }
            holders.start("large", 500)
            holders.start("small", 1)
            holders.running shouldBe listOf("large")
            holders.end("large")
            eventually(5.seconds) { holders.running == listOf("small") }
        }

        it("counts the bytes that work turns out to need") {
            val holders = Holders(ByteBudget(limit = 100)).apply { expect("a", "b") }
            holders.start("a", 90, actual = 20)
            holders.start("b", 80)
            eventually(5.seconds) { holders.running.toSet() == setOf("a", "b") }
        }

        it("keeps no bytes for work that is cancelled, running or waiting") {
            val budget = ByteBudget(limit = 100)
            val holders = Holders(budget).apply { expect("a", "b") }
            val running = holders.start("a", 60)
            val waiting = holders.start("b", 60)
            waiting.cancelAndJoin()
            running.cancelAndJoin()
            delay(10.milliseconds)
            budget.usedBytes shouldBe 0L
        }
    }
})
