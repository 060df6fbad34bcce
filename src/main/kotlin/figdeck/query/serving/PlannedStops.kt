package figdeck.query.serving

import figdeck.model.Moment
import figdeck.model.serving.PlannedStop
import kotlin.time.Duration

/** Whether a request that takes up to [limit] from [now] on is answered before this stop ends it. */
public fun PlannedStop.hasTimeFor(limit: Duration, now: Moment): Boolean = now + limit <= endsAt
