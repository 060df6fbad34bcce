package figdeck.platform

import figdeck.command.serving.ResponseMemoryLimits
import figdeck.command.serving.ResponseMemoryUse
import figdeck.command.serving.exceededLimits
import figdeck.command.serving.hasRoom
import figdeck.command.serving.mayResume
import figdeck.http.server.ResponseRoom
import figdeck.http.server.UnreadBytes
import figdeck.log.DecisionLog

/** How far responses are sent ahead of callers, by [limits]. Logs each response that is ended and calls [count]. */
internal fun callerResponseRoom(limits: ResponseMemoryLimits, log: DecisionLog, count: () -> Unit): ResponseRoom =
    ResponseRoom(
        hasRoom = { hasRoom(it.toUse(), limits) },
        mayResume = { mayResume(it.toUse(), limits) },
        stallTimeout = limits.stallTimeout,
        progressBytes = limits.resume,
        exceededLimits = { exceededLimits(it, limits) },
        onStalled = { stalled ->
            count()
            log.note("slow_reader", stalled.request.get(ATTEMPT_ID_HEADER).orEmpty()) {
                put("target", stalled.target)
                put("unread_bytes", stalled.unread.own)
                put("unread_bytes_of_all", stalled.unread.all)
                put("limit_bytes", limits.each)
                put("limit_bytes_of_all", limits.all)
                put("stall_timeout_ms", limits.stallTimeout.inWholeMilliseconds)
            }
        },
    )

private fun UnreadBytes.toUse() = ResponseMemoryUse(own, all)
