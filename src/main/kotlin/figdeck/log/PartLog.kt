package figdeck.log

import org.tinylog.Logger

/** Writes the log lines of one part of figdeck, each prefixed with [prefix]. */
internal class PartLog(private val prefix: String) {
    fun info(message: () -> String) {
        Logger.info("{}: {}", prefix, message())
    }

    fun warn(message: () -> String) {
        Logger.warn("{}: {}", prefix, message())
    }

    fun debug(message: () -> String) {
        if (Logger.isDebugEnabled()) {
            Logger.debug("{}: {}", prefix, message())
        }
    }

    fun error(message: () -> String) {
        Logger.error("{}: {}", prefix, message())
    }

    fun error(cause: Throwable, message: () -> String) {
        Logger.error(cause, "{}: {}", prefix, message())
    }
}
