package ploverdale.state;

/** How often a server's answers get lost on their way while it works, distinguished from slowness. */
public final class AnswerLoss {
    private static final double NEWEST_WEIGHT = 0.1;
    /** Latency inflation of answers that come; where it is higher, a missing answer is put down to load. */
    private static final double LOAD_FROM = 1.5;
    /** More missing answers in a row than this are no loss on the way. */
    private static final int LOST_IN_A_ROW = 2;
    /** Of answers. Long requests alone miss one in twenty. */
    private static final double NOTABLE_SHARE = 0.12;

    private int missedInARow;
    private double lostShare;
    private double answeredInflation = 1;

    /** An answer came, with this latency as a multiple of the usual one. */
    public void recordAnswer(double inflation) {
        missedInARow = 0;
        lostShare *= 1 - NEWEST_WEIGHT;
        answeredInflation += NEWEST_WEIGHT * (inflation - answeredInflation);
    }

    /** No answer came in time; returns whether it was probably lost rather than slow. */
    public boolean recordMissing() {
        missedInARow++;
        boolean lost = missedInARow <= LOST_IN_A_ROW && answeredInflation < LOAD_FROM;
        lostShare += lost ? NEWEST_WEIGHT * (1 - lostShare) : 0;
        return lost;
    }

    /** The most that a lost answer counts as load, as a multiple of the usual latency. */
    public static double loadOfLostAnswer() {
        return LOAD_FROM;
    }

    /** Whether so many answers get lost that an early retry is worth its cost. */
    public boolean isNotable() {
        return lostShare > NOTABLE_SHARE;
    }
}
