package figdeck.platform

import figdeck.http.newHeaders
import figdeck.model.serving.JobItem
import figdeck.model.serving.WorkFeatures
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private const val ROUTE = "chat"

private fun featuresOf(vararg values: Pair<String, String>): WorkFeatures? =
    workFeaturesOf(ROUTE, newHeaders().apply { values.forEach { (name, value) -> add(name, value) } })

class WorkHeadersSpec : DescribeSpec({
    describe("the headers of a generation") {
        // Guards against prompt and output that are known only as their sum, of which the estimate can use neither.
        it("name prompt, shared parts, maximum output and hint") {
            featuresOf(
                "X-Token-Usage" to "1460, 80",
                "X-Prompt-Prefix" to "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
                "X-Length-Hint" to "42",
            ) shouldBe WorkFeatures(ROUTE, 1460, 1210, 80, 42)
        }

        it("may lack prompt parts and a hint") {
            featuresOf("X-Token-Usage" to "450,400") shouldBe WorkFeatures(ROUTE, 450, 0, 400, null)
        }

        it("of an item are read whatever their case") {
            val names = mapOf("x-token-usage" to "450,400", "X-LENGTH-HINT" to "90", "x-prompt-prefix" to "a:100,b:350")
            itemFeaturesOf(ROUTE, JobItem("item-1", "/chat/1", names, ByteArray(0), 850)) shouldBe
                WorkFeatures(ROUTE, 450, 100, 400, 90)
        }
    }

    describe("the headers of a call to a plain service") {
        // Guards against a service whose calls are estimated like generations.
        it("have no features") {
            featuresOf("X-Prompt-Prefix" to "a:100,b:350", "X-Length-Hint" to "90").shouldBeNull()
            itemFeaturesOf(ROUTE, JobItem("item-1", "/notes/1", emptyMap(), ByteArray(0), 1)).shouldBeNull()
        }
    }

    describe("headers that make no sense") {
        // Guards against false numbers that overflow or lower the charge of a request.
        it("give no features if the tokens can't be read") {
            listOf("", "450", "450,", ",400", "450,400,1", "-1,400", "450,-2", "1e3,5", "99999999999,1").forEach {
                featuresOf("X-Token-Usage" to it).shouldBeNull()
            }
        }

        it("give no hint if it is no number above 0") {
            listOf("", "0", "-7", "many", "99999999999").forEach {
                featuresOf("X-Token-Usage" to "450,400", "X-Length-Hint" to it) shouldBe
                    WorkFeatures(ROUTE, 450, 0, 400, null)
            }
        }

        it("share no more than the prompt") {
            listOf("a:2000000000,b:2000000000,c:1" to 0, "a:99999999,b:99999999,c:1" to 450, "a:x,b,c:1" to 0)
                .forEach { (parts, shared) ->
                    featuresOf("X-Token-Usage" to "450,400", "X-Prompt-Prefix" to parts)?.sharedTokens shouldBe shared
                }
        }
    }
})
