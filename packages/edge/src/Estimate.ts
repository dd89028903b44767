/** An estimated value with the variance of its error. */
interface Estimate {
  mean: number;
  variance: number;
}

export default Estimate;
