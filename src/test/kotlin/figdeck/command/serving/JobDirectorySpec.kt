package figdeck.command.serving

import figdeck.model.HostId
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.isOpen
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEEDS = 40
private const val STEPS = 300
private val teams = listOf("walkers", "riders").map { TeamId(it) }
private val routes = listOf("notes", "letters")

private fun record(id: String, results: Int = 0, team: TeamId = teams[0], route: String = routes[0], tokens: Long = 5) =
    JobRecord(
        id = JobId(id),
        team = team,
        route = route,
        submittedAtMillis = 0,
        total = 2,
        tokens = tokens,
        results = results,
        isEnded = false,
        owner = JobOwner(HostId("host-1"), "1"),
        chunks = 1,
        writeId = "w",
    )

private fun Random.nextRecord(): JobRecord {
    val number = nextInt(12)
    val team = teams[number % 2]
    return record("job-$number", results = nextInt(3), team, routes[number / 2 % 2], tokens = nextLong(4))
}

/** One of the changes that a host makes, at random. */
private fun JobDirectory.changed(random: Random, version: Long): JobDirectory = when (random.nextInt(6)) {
    0 -> removeJob(this, random.nextRecord().id)
    1 -> addPending(this, random.nextRecord())
    2 -> removePending(this, random.nextRecord().id)
    3 -> replaceOpenJobs(this, List(3) { VersionedJob(random.nextRecord().copy(results = 0), version) })
    else -> putJob(this, VersionedJob(random.nextRecord(), version - random.nextLong(3)))
}

private fun JobDirectory.countedTokens(team: TeamId, route: String): Long =
    (jobs.values.map { it.record }.filter { it.isOpen } + pendingWrites.values)
        .filter { it.team == team && it.route == route }
        .sumOf { it.tokens }

class JobDirectorySpec : DescribeSpec({
    describe("the tokens that wait") {
        // Guards against a limit of waiting tokens that drifts from the jobs for which it counts.
        it("are those of the open jobs and pending writes, whatever changes them ($SEEDS seeds)") {
            repeat(SEEDS) { seed ->
                val random = Random(seed)
                (1L..STEPS).fold(emptyJobDirectory) { directory, version ->
                    directory.changed(random, version).also { next ->
                        for (team in teams) {
                            for (route in routes) {
                                next.waitingTokens(team, route) shouldBe next.countedTokens(team, route)
                            }
                        }
                        next.closed shouldBe next.jobs.values.filter { !it.record.isOpen }.map { it.record.id }.toSet()
                    }
                }
            }
        }
    }

    describe("a directory that learns of many closed jobs") {
        val open = putJob(emptyJobDirectory, VersionedJob(record("open"), 1))
        val many = (1..5 * MAX_CLOSED_JOBS).fold(open) { directory, i ->
            putJob(directory, VersionedJob(record("job-$i", results = 2), i.toLong()))
        }

        // Guards against hosts that run out of memory over the jobs of some days.
        it("keeps the open ones and those that it has learned last") {
            many.jobs.size shouldBe MAX_CLOSED_JOBS + 1
            many.jobs.keys.contains(JobId("open")) shouldBe true
            many.closed.first() shouldBe JobId("job-${4 * MAX_CLOSED_JOBS + 1}")
        }

        it("keeps none of them when the store is read again") {
            replaceOpenJobs(many, listOf(VersionedJob(record("open"), 1))).jobs.keys shouldBe setOf(JobId("open"))
        }
    }
})
