package figdeck.query.serving

import arrow.core.getOrElse
import arrow.core.left
import figdeck.model.Refusal
import figdeck.model.serving.servingPlan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class PlanIndexSpec : DescribeSpec({
    val index = planIndexOf(
        servingPlan {
            version = 3
            route("short") {
                host = "desk.example"
                prefix = "/a/"
                pool("p")
            }
            route("long") {
                host = "desk.example"
                prefix = "/a/b/"
                pool("p")
            }
            route("open") {
                host = "desk.example"
                prefix = "/open/"
                open = true
                pool("p")
            }
            team("walkers") { key("k1") }
        }.getOrElse { error(it.toString()) },
    )

    describe("the route of a request") {
        it("is the one with the longest prefix") {
            index.access("Desk.example", "/a/b/1", "k1").map { it.route.name } shouldBe index.access(
                "desk.example",
                "/a/b/2",
                "k1",
            ).map { it.route.name }
            index.access("desk.example", "/a/b/1", "k1").getOrNull()?.route?.name shouldBe "long"
            index.access("desk.example", "/a/c", "k1").getOrNull()?.route?.name shouldBe "short"
        }

        it("is not found under another host or path") {
            index.access("other.example", "/a/b/1", "k1") shouldBe
                Refusal.NotFound("a route for other.example/a/b/1").left()
            index.access("desk.example", "/ab", "k1") shouldBe Refusal.NotFound("a route for desk.example/ab").left()
        }
    }

    describe("the key of a request") {
        it("identifies its team") {
            index.access("desk.example", "/a/1", "k1").getOrNull()?.team?.id?.value shouldBe "walkers"
        }

        it("is required and must be known") {
            index.access("desk.example", "/a/1", null) shouldBe Refusal.MissingKey.left()
            index.access("desk.example", "/a/1", "k2") shouldBe Refusal.UnknownKey.left()
        }

        it("is ignored on an open route") {
            index.access("desk.example", "/open/1", "k2").getOrNull()?.team shouldBe null
            index.access("desk.example", "/open/1", "k2").isRight() shouldBe true
        }
    }
})
