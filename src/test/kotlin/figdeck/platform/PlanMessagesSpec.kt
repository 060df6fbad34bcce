package figdeck.platform

import arrow.core.getOrElse
import figdeck.model.Limit
import figdeck.model.Region
import figdeck.model.TeamId
import figdeck.model.hashKey
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.ColdStartPolicy
import figdeck.model.serving.PoolName
import figdeck.model.serving.PoolShare
import figdeck.model.serving.ServingPool
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.ServingTeam
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val plan = """
    {"Version":7,"Routes":[
      {"Name":"r-chat","Host":"Ficu95.example","Prefix":"/lohu930/","Kind":"streaming","TimeoutMs":5000,
       "TargetLatencyMs":300,"Priority":0,"Split":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}],
       "MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapAimMs":250,"New":1},
      {"Name":"r-job","Host":"ficu95.example","Prefix":"/pule252/","Kind":"batch","TimeoutMs":15000,
       "TargetLatencyMs":400,"Service":"huvo11a","MaxAttempts":3,"RunTargetMs":18000,"MaxWaitS":60,"MaxCount":1100000},
      {"Name":"r-odd","Host":"ficu95.example","Prefix":"/odd/","Kind":"something_new","Service":"huvo11a"}],
     "Services":[{"Name":"huvo11a","HealthPath":"/health"}],
     "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304},
     "Tenants":[{"Name":"huka270","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":42,"Burst":42}]}
""".trimIndent()

class PlanMessagesSpec : DescribeSpec({
    describe("the operators' configuration") {
        val decoded = decodePlan(plan).getOrElse { error(it) }

        it("is decoded to routes") {
            decoded.routes.first() shouldBe ServingRoute(
                name = "r-chat",
                host = "ficu95.example",
                prefix = "/lohu930/",
                kind = CallKind.RESUMABLE_STREAM,
                pools = listOf(PoolShare(PoolName("huvo11a"), 90), PoolShare(PoolName("wuno96b"), 10)),
                timeout = 5.seconds,
                latencyObjective = 300.milliseconds,
                maxAttempts = 2,
                priority = 0,
                open = false,
                batch = null,
            )
        }

        it("is decoded to the terms of batch jobs") {
            decoded.routes[1].batch shouldBe BatchPolicy(18.seconds, 60.seconds, 1_100_000)
        }

        it("keeps the other routes if one is of an unknown kind") {
            decoded.routes.map { it.name } shouldBe listOf("r-chat", "r-job")
        }

        it("is decoded to teams with hashed keys and a rate limit") {
            decoded.teams shouldBe
                listOf(ServingTeam(TeamId("huka270"), setOf(hashKey("k1"), hashKey("k2")), 1, Limit(42.0, 42)))
            decoded.version shouldBe 7
        }
    }

    // Guards against protection of cold upstreams and confinement to regions that are configured but not applied.
    describe("a configuration with cold starts, engines and home regions") {
        val decoded = decodePlan(
            """
            {"Version":8,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/a/","Kind":"streaming","TimeoutMs":5000,
              "Service":"p","AllowedRegions":["north"]}],
             "Services":[{"Name":"p","ColdS":3.0,"ColdPerS":23.0,"Engine":{"Stride":12,"KvCapacityTokens":101495}},
              {"Name":"q","ColdS":0.0,"ColdPerS":0.0},{"Name":"no-time","ColdS":0.0,"ColdPerS":23.0},
              {"Name":"no-rate","ColdS":3.0}],
             "Tenants":[{"Name":"t","ApiKeys":["k"],"AllowedRegions":["north","south"]}]}
            """.trimIndent()
        ).getOrElse { error(it) }

        it("is decoded to the settings of its pools") {
            decoded.pools shouldBe listOf(
                ServingPool(
                    name = PoolName("p"),
                    coldStart = ColdStartPolicy(3.seconds, 23.0),
                    tokensPerEvent = 12,
                    tokenCapacity = 101_495,
                ),
                ServingPool(PoolName("q")),
                ServingPool(PoolName("no-time")),
                ServingPool(PoolName("no-rate")),
            )
        }

        it("is decoded to the homes of routes and teams") {
            decoded.routes.single().homes shouldBe setOf(Region("north"))
            decoded.teams.single().homes shouldBe setOf(Region("north"), Region("south"))
        }
    }

    describe("an invalid configuration") {
        it("is rejected") {
            decodePlan("{").isLeft() shouldBe true
        }
    }
})
