package figdeck.cli

/**
 * Ends this process at once with [EXIT_FATAL_ERROR], because [error] ended the background work [name]. Its lease
 * lapses, other hosts take over, and the platform starts it again. Log lines are queued and shutdown hooks need a sound
 * process, so the reason is written directly and no hook runs.
 */
internal fun endProcess(name: String, error: Throwable) {
    try {
        System.err.println("figdeck: ending with code $EXIT_FATAL_ERROR, because '$name' failed: $error")
        error.printStackTrace()
    } finally {
        Runtime.getRuntime().halt(EXIT_FATAL_ERROR)
    }
}
