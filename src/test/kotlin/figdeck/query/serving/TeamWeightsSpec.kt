package figdeck.query.serving

import figdeck.model.TeamId
import figdeck.model.serving.servingPlan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** The weights of teams that are named by their position and have [rates]. */
private fun weightsOf(vararg rates: Double): List<Int> {
    val plan = servingPlan {
        rates.forEachIndexed { i, rate -> team("team-$i") { ratePerSecond = rate } }
    }.getOrNull().shouldNotBeNull()
    val weights = planIndexOf(plan).weights
    return rates.indices.map { weights.of(TeamId("team-$it")) }
}

class TeamWeightsSpec : DescribeSpec({
    describe("the weights of teams") {
        it("are in proportion to their rates") {
            weightsOf(10.0, 40.0, 20.0) shouldBe listOf(50, 200, 100)
        }

        // Guards against a team whose rate is meant as no limit and which then holds all slots of a full pool.
        it("differ from the median by ten times at most") {
            weightsOf(1.0, 20.0, 1_000_000.0) shouldBe listOf(10, 100, 1_000)
        }

        it("are those of the median rate for teams without one, and equal if none has one") {
            weightsOf(0.0, 5.0, 10.0) shouldBe listOf(100, 50, 100)
            weightsOf(0.0, 0.0) shouldBe listOf(1, 1)
            teamWeights(emptyList()).of(null) shouldBe 1
        }
    }
})
