package figdeck.platform

import arrow.core.Either
import arrow.core.right
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.FutureTask
import kotlin.time.Duration

private fun entry(state: String = "ready", address: String = "10.128.0.9:8080") =
    """{"Service":"huvo11a","Address":"$address","Zone":"jihlava","Version":"v1","Slots":8,"State":"$state",
       "ColdRemainingMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":4,"born":17}"""

private const val NESTING = 20_000

/** The stack of a daemon's threads, in bytes: deep recursion ends there first. */
private const val SMALL_STACK = 256L * 1024

private fun decodedOnSmallStack(text: String): Either<String, PoolMember> {
    val decoded = FutureTask { decodeUpstream("i-1", text) }
    Thread(null, decoded, "decoder", SMALL_STACK).start()
    return decoded.get()
}

class UpstreamMessageSpec : DescribeSpec({
    describe("an upstream's entry") {
        it("is decoded to the upstream and its pool") {
            val upstream = Upstream(
                id = UpstreamId("i-7f3a91c2"),
                address = Address("10.128.0.9", 8080),
                dataCentre = DataCentre("jihlava"),
                kind = UpstreamKind.ENGINE,
                slots = 8,
                honoursFencing = false,
                startedAtMillis = 17,
            )
            decodeUpstream("i-7f3a91c2", entry()) shouldBe
                PoolMember(
                    upstream = upstream,
                    pool = PoolName("huvo11a"),
                    isLeaving = false,
                    coldRemaining = Duration.ZERO,
                ).right()
        }

        it("is decoded as leaving while it drains") {
            decodeUpstream("i-1", entry(state = "draining")).getOrNull()?.isLeaving shouldBe true
        }
    }

    describe("an entry that another writer left") {
        val deep = "[".repeat(NESTING) + "]".repeat(NESTING)
        val deepObject = "{\"a\":".repeat(NESTING) + "1" + "}".repeat(NESTING)
        val unusable = mapOf(
            "nested deeply as a whole" to deep,
            "nested deeply as an object" to deepObject,
            "nested deeply in a known field" to entry(address = "10.128.0.9:8080").replace("\"jihlava\"", deep),
            "nested deeply and cut off" to deep.take(NESTING),
            "nested deeply among its models" to entry().replace("\"Adapters\":[]", "\"Adapters\":$deep"),
            "nested deeply in an unknown field" to entry().replace("\"Stage\":\"both\"", "\"Other\":$deepObject"),
            "with a number too large" to entry().replace("\"Slots\":8", "\"Slots\":99999999999999999999"),
            "with an exponent too large" to entry().replace("\"Slots\":8", "\"Slots\":8e999999999"),
            "with more slots than any upstream has" to entry().replace("\"Slots\":8", "\"Slots\":2147483647"),
            "with no slots" to entry().replace("\"Slots\":8", "\"Slots\":0"),
            "with a sequence number too large" to entry().replace("\"Seq\":4", "\"Seq\":9999999999999999999999"),
            "with a sequence number nested deeply" to entry().replace("\"Seq\":4", "\"Seq\":$deep"),
            "with a version of another type" to entry().replace("\"v1\"", "{}"),
            "with a port out of range" to entry(address = "10.128.0.9:65536"),
            "with port 0" to entry(address = "10.128.0.9:0"),
            "with a negative port" to entry(address = "10.128.0.9:-1"),
            "with a port too large for a number" to entry(address = "10.128.0.9:99999999999999999999"),
            "with a name in place of the IP number" to entry(address = "engine.example:8080"),
            "with an IP number out of range" to entry(address = "10.128.0.256:8080"),
        )
        unusable.forEach { (name, text) ->
            it("names no upstream: $name") {
                decodedOnSmallStack(text).isLeft() shouldBe true
            }
        }

        it("is read if only texts in it look nested, or fields that figdeck doesn't know are there") {
            listOf(
                entry().replace("\"both\"", "\"\\\"$deep\""),
                entry().replace("\"Stage\":\"both\"", "\"Other\":[[{\"a\":1e999}]]"),
            ).forEach { decodedOnSmallStack(it).getOrNull()?.upstream?.slots shouldBe 8 }
        }
    }

    describe("an invalid entry") {
        listOf(
            entry(state = "resting"),
            entry(address = "nowhere"),
            """{"Service":"huvo11a","Slots":"many"}""",
            "",
            "\u0000\u0001",
        ).forEach { text ->
            it("is rejected: ${text.take(40).filter { c -> c >= ' ' }}") {
                decodeUpstream("i-1", text).isLeft() shouldBe true
            }
        }
    }
})
