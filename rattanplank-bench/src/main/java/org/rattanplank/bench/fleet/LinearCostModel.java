package org.rattanplank.bench.fleet;

/**
 * A linear cost model of two variables: {@code fixed + perPeer * peers + perDataCentre * dataCentres}. Immutable and thread safe.
 *
 * @param fixed the cost without peers and other data centres
 * @param perPeer the additional cost of each peer in the data centre
 * @param perDataCentre the additional cost of each other data centre
 */
public record LinearCostModel(double fixed, double perPeer, double perDataCentre) {

    /**
     * Fits a model by least squares.
     *
     * @param peers the number of peers of each sample
     * @param dataCentres the number of other data centres of each sample
     * @param costs the cost of each sample
     * @return the fitted model
     */
    public static LinearCostModel fit(double[] peers, double[] dataCentres, double[] costs) {
        double[][] normalEquations = new double[3][4];
        for (int i = 0; i < costs.length; i++) {
            double[] row = {1, peers[i], dataCentres[i], costs[i]};
            for (int r = 0; r < normalEquations.length; r++) {
                for (int c = 0; c < row.length; c++) {
                    normalEquations[r][c] += row[r] * row[c];
                }
            }
        }
        double[] solved = solve(normalEquations);
        return new LinearCostModel(solved[0], solved[1], solved[2]);
    }

    private static double[] solve(double[][] rows) {
        int size = rows.length;
        for (int pivot = 0; pivot < size; pivot++) {
            for (int row = 0; row < size; row++) {
                if (row == pivot) {
                    continue;
                }
                double factor = rows[row][pivot] / rows[pivot][pivot];
                for (int column = pivot; column <= size; column++) {
                    rows[row][column] -= factor * rows[pivot][column];
                }
            }
        }
        double[] solved = new double[size];
        for (int row = 0; row < size; row++) {
            solved[row] = rows[row][size] / rows[row][row];
        }
        return solved;
    }

    /**
     * Returns the predicted cost of a system size.
     *
     * @param peers the number of peers in the data centre
     * @param dataCentres the number of other data centres
     * @return the predicted cost
     */
    public double costAt(double peers, double dataCentres) {
        return fixed + perPeer * peers + perDataCentre * dataCentres;
    }
}
