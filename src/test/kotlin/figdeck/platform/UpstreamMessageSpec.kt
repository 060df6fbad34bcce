package figdeck.platform

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

private fun entry(state: String = "ready", address: String = "10.128.0.9:8080") =
    """{"Service":"huvo11a","Address":"$address","Zone":"jihlava","Version":"v1","Slots":8,"State":"$state",
       "ColdRemainingMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":4,"born":17}"""

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
            )
            decodeUpstream("i-7f3a91c2", entry()) shouldBe
                PoolMember(upstream, PoolName("huvo11a"), isLeaving = false).right()
        }

        it("is decoded as leaving while it drains") {
            decodeUpstream("i-1", entry(state = "draining")).getOrNull()?.isLeaving shouldBe true
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
