package figdeck.cli

/** The exit code of a command that was refused; nothing was changed. Code 2 means an invalid command line. */
internal const val EXIT_REFUSED: Int = 1

/** The exit code when others changed the configuration first; the command changed nothing. */
internal const val EXIT_CONFLICT: Int = 3

/** The exit code when the daemon or the platform is unreachable; nothing was changed. */
internal const val EXIT_UNAVAILABLE: Int = 4

/** The exit code when it is unknown whether the change took effect. */
internal const val EXIT_OUTCOME_UNKNOWN: Int = 5

/** The exit code of an accepted change that not every known host has confirmed to be in force. */
internal const val EXIT_NOT_CONFIRMED_EVERYWHERE: Int = 6

/** The exit code of a daemon that ends itself because background work failed with an error. */
internal const val EXIT_FATAL_ERROR: Int = 70
