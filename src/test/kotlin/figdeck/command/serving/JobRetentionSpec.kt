package figdeck.command.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val retention = 120.seconds

private fun job(version: Long, results: Int = 2, isEnded: Boolean = false) = VersionedJob(
    JobRecord(
        id = JobId("job-1"),
        team = TeamId("walkers"),
        route = "notes",
        submittedAtMillis = 0,
        total = 2,
        tokens = 0,
        results = results,
        isEnded = isEnded,
        owner = JobOwner(HostId("host-1"), "1"),
        chunks = 1,
        writeId = "w",
    ),
    version,
)

/** The history of a host that has seen a version ten higher each ten seconds, for [length]. */
private fun watched(length: Duration): VersionHistory =
    generateSequence(Duration.ZERO) { it + 10.seconds }.takeWhile { it <= length }
        .fold(noVersionHistory) { history, at -> history.observe(at.inWholeSeconds, retention, start + at) }

class JobRetentionSpec : DescribeSpec({
    describe("a closed job") {
        it("has expired when its last write is older than the retention") {
            val now = start + 130.seconds
            val history = watched(130.seconds)
            history.isExpired(job(version = 10), retention, now) shouldBe true
            history.isExpired(job(version = 11), retention, now) shouldBe false
            history.isExpired(job(version = 10, results = 1, isEnded = true), retention, now) shouldBe true
        }

        // Guards against a host that deletes jobs too early after its start, when it knows no time of theirs.
        it("has not expired before the host has watched for the retention, however old it is") {
            watched(110.seconds).isExpired(job(version = 0), retention, start + 119.seconds) shouldBe false
            watched(120.seconds).isExpired(job(version = 0), retention, start + 120.seconds) shouldBe true
        }

        // Guards against steps of a wall clock: its own or that of the host that accepted the job.
        it("has not expired because a wall clock was set") {
            val stepped = Moment(60.seconds.inWholeNanoseconds, 5.hours.inWholeMilliseconds)
            watched(60.seconds).isExpired(job(version = 0), retention, stepped) shouldBe false
        }
    }

    describe("an open job") {
        it("never expires") {
            watched(1.hours).isExpired(job(version = 0, results = 1), retention, start + 1.hours) shouldBe false
        }
    }

    describe("the history of a day") {
        it("holds the samples of the retention alone") {
            watched(24.hours).samples.size shouldBeLessThan 15
        }
    }
})
