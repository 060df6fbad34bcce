package figdeck.daemon.command

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LaunchLoopSpec : DescribeSpec({
    describe("background work that runs once") {
        it("reports an error, and no exception") {
            val reported = CopyOnWriteArrayList<String>()
            val handler = fatalErrorHandler { name, _ -> reported += name }
            val scope = CoroutineScope(Dispatchers.Default + SupervisorJob() + handler)
            scope.launch { throw IOException("the peer is unreachable") }.join()
            scope.launch { throw OutOfMemoryError("heap") }.join()
            reported shouldBe listOf("unnamed work")
        }
    }

    describe("a background loop") {
        listOf<Pair<String, suspend () -> Unit>>(
            "a failure" to { throw IOException("the table is unreadable") },
            "a time-out of something it waited for" to { withTimeout(1.milliseconds) { awaitCancellation() } },
            "an overflow of its stack" to { throw StackOverflowError() },
            "the cancellation of something it waited for" to { throw CancellationException("the call was cancelled") },
        ).forEach { (name, fail) ->
            it("is started again after $name") {
                val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
                var runs = 0
                val loop = scope.launchLoop("test", 1.milliseconds) {
                    runs++
                    if (runs < 3) fail()
                }
                withTimeout(10.seconds) { loop.join() }
                runs shouldBe 3
            }
        }

        listOf(OutOfMemoryError("heap"), NoClassDefFoundError("x"), AssertionError("x")).forEach { error ->
            it("reports its name and does not start again after ${error::class.simpleName}") {
                val reported = CompletableDeferred<Pair<String, Throwable>>()
                val handler = fatalErrorHandler { name, cause -> reported.complete(name to cause) }
                val scope = CoroutineScope(Dispatchers.Default + SupervisorJob() + handler)
                var runs = 0
                val loop = scope.launchLoop("test", 1.milliseconds) {
                    runs++
                    coroutineScope { launch { throw error } }
                }
                val (name, cause) = withTimeout(10.seconds) { reported.await() }
                name shouldBe "test"
                cause.toString() shouldBe error.toString()
                loop.join()
                runs shouldBe 1
            }
        }

        it("ends with its scope") {
            val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
            val loop = scope.launchLoop("test", 1.milliseconds) { awaitCancellation() }
            scope.cancel()
            withTimeout(10.seconds) { loop.join() }
            loop.isCancelled shouldBe true
        }
    }
})
