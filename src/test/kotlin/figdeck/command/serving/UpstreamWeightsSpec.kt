package figdeck.command.serving

import figdeck.daemon.command.serving.poolMember
import figdeck.daemon.command.serving.startedAt
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.WeightsVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val pool = PoolName("engines")
private val one = WeightsVersion("1")
private val two = WeightsVersion("2")
private val ids = listOf("e-1", "e-2", "e-3").map { UpstreamId(it) }
private val listed = replaceMembers(emptyPoolMembers, ids.map { poolMember(pool, it.value).startedAt(1) }, start)

/** The state in which e-1 has the weights 1 and e-2 the weights 2, by answers at the start. */
private val observed = recordWeights(
    recordWeights(listed, UpstreamStart(ids[0], 1), one, start),
    UpstreamStart(ids[1], 1),
    two,
    start,
)

class UpstreamWeightsSpec : DescribeSpec({
    // Guards against requests that collect rejections, and against upstreams that are avoided for what they once had.
    describe("upstreams with other weights") {
        it("are those whose answers have named others, and none of which nothing is known") {
            observed.upstreamsWithOtherWeights(pool, one, start) shouldBe setOf(ids[1])
            observed.upstreamsWithOtherWeights(pool, two, start) shouldBe setOf(ids[0])
            observed.upstreamsWithOtherWeights(pool, WeightsVersion("3"), start) shouldBe setOf(ids[0], ids[1])
        }

        it("are none in another pool") {
            observed.upstreamsWithOtherWeights(PoolName("other"), one, start) shouldBe emptySet()
        }

        it("are tried again after 30 s, since weights may be replaced") {
            observed.upstreamsWithOtherWeights(pool, one, start + 29.seconds) shouldBe setOf(ids[1])
            observed.upstreamsWithOtherWeights(pool, one, start + 30.seconds) shouldBe emptySet()
        }

        it("are known by the latest answer") {
            val replaced = recordWeights(observed, UpstreamStart(ids[1], 1), one, start + 1.seconds)
            replaced.upstreamsWithOtherWeights(pool, one, start + 1.seconds) shouldBe emptySet()
        }

        it("are forgotten with the start that had them, also if it answers later") {
            val later = poolMember(pool, ids[1].value).startedAt(2)
            val restarted = recordStoreResponse(putMember(observed, later), start)
            restarted.upstreamsWithOtherWeights(pool, one, start) shouldBe emptySet()
            restarted.weights.keys shouldBe setOf(UpstreamStart(ids[0], 1))
            recordWeights(restarted, UpstreamStart(ids[1], 1), two, start) shouldBe restarted
        }
    }
})
