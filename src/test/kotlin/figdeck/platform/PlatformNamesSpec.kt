package figdeck.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.File

/** Names of the platform's protocols; the code outside the platform package must not depend on them. */
private val PLATFORM_NAMES = listOf(
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Response-Stamp",
    "X-Not-Executed",
    "X-Expect-Instance",
    "X-Token-Usage",
    "X-Prompt-Prefix",
    "X-Tenant",
    "ApiKeys",
    "TargetLatencyMs",
    "ExpectedRev",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "blob-put",
    "dead_letter",
    "/lots/",
)

class PlatformNamesSpec : DescribeSpec({
    describe("the names of the platform's protocols") {
        it("occur only in the platform package") {
            val sources = File("src/main").walk().filter { it.isFile && "/platform/" !in it.path }.toList()
            val found = sources.flatMap { file ->
                PLATFORM_NAMES.filter { it in file.readText() }.map { "${file.name}: $it" }
            }
            found shouldBe emptyList()
        }
    }
})
