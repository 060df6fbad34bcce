package figdeck.daemon.command

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeout
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LaunchLoopSpec : DescribeSpec({
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

        it("ends with its scope") {
            val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
            val loop = scope.launchLoop("test", 1.milliseconds) { awaitCancellation() }
            scope.cancel()
            withTimeout(10.seconds) { loop.join() }
            loop.isCancelled shouldBe true
        }
    }
})
