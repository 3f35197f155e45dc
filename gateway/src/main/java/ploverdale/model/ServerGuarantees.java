package ploverdale.model;

/** Figures of the rules that hold between the operator and its databases. Times in tenths of a millisecond. */
public record ServerGuarantees(
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow,
        boolean removalBinds,
        long askListWithin) {}
